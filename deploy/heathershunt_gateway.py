"""Starts the gateway of this checkout on the users' platform."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from heathershunt.platform.main import main  # noqa: E402

if __name__ == "__main__":
    main()
