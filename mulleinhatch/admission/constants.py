"""Constants shared by several components of the admission controller; all others are defined in the module that uses them."""

from mulleinhatch.admission.interface import Ending

# Seconds between recalculations of queue scores and load measurements while there is work: short against the shortest run.
RECALCULATION_INTERVAL_S = 0.1

# An answer leaves this long before its deadline, plus two ticks of the host's timer: a timer may fire late.
ANSWER_MARGIN_S = 0.03

# Seconds before the stop of the process by which all answers must be sent: later ones may not reach their clients.
STOP_MARGIN_S = 0.15

# Endings that prove that the request or call was never executed, so it may be retried.
NOT_EXECUTED_ENDINGS = (Ending.FULL, Ending.UNREACHABLE, Ending.MOOT)
