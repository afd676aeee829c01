package org.curranthaven.internal.dispatch;

/**
 * Identifies a request across all gateways.
 *
 * @param gateway name of the gateway
 * @param id number of the request, unique at that gateway
 */
public record RequestId(String gateway, long id) {}
