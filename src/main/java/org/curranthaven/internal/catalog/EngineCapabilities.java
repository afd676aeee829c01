package org.curranthaven.internal.catalog;

/**
 * Capacity and features of the engines of a service.
 *
 * @param slots maximum number of requests that an engine runs in one batch
 * @param memoryTokens memory of an engine, in tokens
 * @param tokensPerEvent output tokens in one event of a stream
 * @param supportsMigration whether a running request can be migrated to another engine
 * @param supportsBackups whether an engine can maintain a backup copy of a running request on
 *     another engine
 */
public record EngineCapabilities(
    int slots,
    int memoryTokens,
    int tokensPerEvent,
    boolean supportsMigration,
    boolean supportsBackups) {}
