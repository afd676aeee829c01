package org.curranthaven.internal.dispatch;

/**
 * What a request finds ahead of it when it asks for capacity.
 *
 * @param serviceRequests queued requests of the service, of any priority
 * @param requests queued requests of the service that are served before it
 * @param memoryTokens memory that must become free before memory for the request does
 * @param fromPriority most urgent priority whose requests release memory for it; what more urgent
 *     ones release is kept for others like them
 */
record QueueAhead(int serviceRequests, int requests, double memoryTokens, int fromPriority) {}
