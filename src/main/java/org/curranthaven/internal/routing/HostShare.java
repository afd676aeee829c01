package org.curranthaven.internal.routing;

/**
 * The open requests of one host on one backend server.
 *
 * @param server name of the backend server
 * @param running number of open requests
 * @param forecast forecast of the memory that they use
 */
public record HostShare(String server, int running, MemoryForecast forecast) {}
