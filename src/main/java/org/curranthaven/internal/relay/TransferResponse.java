package org.curranthaven.internal.relay;

/**
 * An engine's answer to an order to copy a running request elsewhere.
 *
 * @param status HTTP status
 * @param handle name under which the copy can be used; empty when there is none
 */
public record TransferResponse(int status, String handle) {}
