package org.curranthaven.internal.relay;

/**
 * An engine's response to a request to copy a running request's state to another engine.
 *
 * @param status HTTP status; 0 if no response was received
 * @param handle handle under which the copied state can be used; empty if there is none
 */
public record TransferResponse(int status, String handle) {}
