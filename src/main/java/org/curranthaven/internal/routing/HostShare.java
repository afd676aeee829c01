package org.curranthaven.internal.routing;

/**
 * What one host has open on one server.
 *
 * @param server name of the server
 * @param running number of open requests
 * @param forecast memory that they are forecast to use
 */
public record HostShare(String server, int running, MemoryForecast forecast) {}
