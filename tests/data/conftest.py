"""Keeps pytest from importing the modules of this folder for their doctests: they belong to text 3fe6cd9 and hold no tests."""

collect_ignore = ["make_3fe6cd9.py", "messages_3fe6cd9.py"]
