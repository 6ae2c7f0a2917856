"""The one reducer between what happens and what is to be done, with the tables of ops and keys. No I/O."""
