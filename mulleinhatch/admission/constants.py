"""Constants that several parts of the admission controller share; every other constant is in the module that uses it."""

from mulleinhatch.admission.interface import Ending

# Queued requests are scored again, and load is measured again, this often while there is work: short against the shortest run.
RECALCULATION_INTERVAL_S = 0.1

# An answer leaves this long before its deadline, plus two ticks of the host's timer: a timer may fire late.
ANSWER_MARGIN_S = 0.03

# All answers leave this long before the process is stopped: later ones may not reach their callers.
STOP_MARGIN_S = 0.15

# Endings which prove that the request or the call was never executed, so that it may be tried again.
NOT_EXECUTED_ENDINGS = (Ending.FULL, Ending.UNREACHABLE, Ending.MOOT)
