"""The data plane: accepts client requests, queues them by priority, and forwards them to backends.

Started by `data_plane.py`. It stores nothing on disk; its state comes from the control plane and from its own requests.

The path of a request, module by module:

    listener             reads a request from a client's connection
    router               finds its route and service
    request_scheduler    queues and starts it, or rejects it if it can't be served in time
    admission_queue      orders and bounds the waiting requests
    request_lifecycle    drives it from arrival to response
    backend_selection    selects the backend
    attempt              sends it to the backend
    response_relay       forwards the response to the client
"""
