"""The data plane: accepts client requests, queues them by priority, and forwards them to backends.

Started by `data_plane.py`. It keeps nothing on disk; all that it knows comes from the control plane and from its own requests.

The way of a request, module by module:

    listener             reads a request from a client's connection
    router               finds its route and service
    request_scheduler    admits it, starts it, or answers it when it can't be served in time
    admission_queue      orders and bounds the waiting requests
    request_lifecycle    one request from arrival to response
    backend_selection    picks the backend
    attempt              sends it to the backend
    response_relay       forwards the response to the client
"""
