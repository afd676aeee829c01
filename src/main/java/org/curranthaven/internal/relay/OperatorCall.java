package org.curranthaven.internal.relay;

/**
 * An operator's HTTP request without a body to the control interface.
 *
 * @param method HTTP method
 * @param path encoded path, with a query if there is one
 */
public record OperatorCall(String method, String path) {}
