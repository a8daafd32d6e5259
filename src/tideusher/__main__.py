"""`python -m tideusher`."""

from tideusher.cli import main

main()
