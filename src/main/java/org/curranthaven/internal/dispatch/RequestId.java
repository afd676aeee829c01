package org.curranthaven.internal.dispatch;

/**
 * Names a call among all gateways.
 *
 * @param gateway name of the gateway
 * @param id number of the call there
 */
public record RequestId(String gateway, long id) {}
