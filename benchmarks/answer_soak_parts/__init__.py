"""Parts of the soak of answers: backends with troubles, clients that repeat requests, and the checks of what ran."""
