"""Detection and damping of retry and reconnect storms, as opposed to bursts, deploys and a single noisy caller.

The request state machine calls `RetryAdmission`, and the client listener consults it before it reads a request in full. The
package counts requests, spreads retries over time, and enforces the rate set by the admission controller, which makes all
other decisions to admit or reject a request.
"""
