"""Batch scripts with PBS directives, read and translated to native jobs.

Pure: no I/O, no clock, no environment; all of it is passed in. `read_script` and `translate` are what
programs call; both raise Refusal, whose text is one line for people. See docs/pbs.md.
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
