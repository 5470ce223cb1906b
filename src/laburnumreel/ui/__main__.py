"""Runs the command line as `python -m laburnumreel.ui`."""

from laburnumreel.ui import main

main()
