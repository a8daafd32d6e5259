"""Reads batch scripts with PBS directives and translates them to native jobs.

Does no I/O and reads neither clock nor environment: the caller passes in all input. The entry points are
`read_script` and `translate`; both raise Refusal, whose message is one line for users. See docs/pbs.md.
"""

from tideusher.pbs.profile import Profile, ProfileError, parse_profile
from tideusher.pbs.refusal import Refusal
from tideusher.pbs.script import Script, read_script
from tideusher.pbs.translate import Submission, asked_of_environment, translate

__all__ = [
    "Profile",
    "ProfileError",
    "Refusal",
    "Script",
    "Submission",
    "asked_of_environment",
    "parse_profile",
    "read_script",
    "translate",
]
