package io.masticfold.gateway.http;

import io.masticfold.core.memory.MemoryReservation;

/**
 * Holds a request that waits for the response before it on its connection.
 *
 * @param request the request
 * @param memory memory of its body; to be closed once the response was written
 * @param keepsAlive whether the caller keeps its connection open for another request
 * @param rejected whether its body was not read for want of memory
 */
record PendingRequest(CallerRequest request, MemoryReservation memory, boolean keepsAlive, boolean rejected) {

    /** Has the request served or rejected. */
    CallerListener start(RequestHandler handler, CallerResponse response) {
        if (rejected) {
            handler.rejectForMemory(request, response);
            return CallerListener.NONE;
        }
        return handler.handle(request, response);
    }
}
