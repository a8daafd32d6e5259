"""Start one controller from a checkout: `python3 run.py --config FILE`.

Dependencies built under target/deps and the sources under src are put on the path here, so the
platform needs no installation step beyond the build command of deploy/service.toml.
"""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]

if __name__ == "__main__":
    from tideusher.cli import main

    main(["serve", *sys.argv[1:]])
