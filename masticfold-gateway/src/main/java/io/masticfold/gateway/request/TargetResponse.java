package io.masticfold.gateway.request;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Holds a complete response of a target.
 *
 * @param status status code
 * @param headers headers as received from the target
 * @param body complete body
 */
record TargetResponse(int status, HttpHeaders headers, byte[] body) {}
