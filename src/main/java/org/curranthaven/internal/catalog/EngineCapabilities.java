package org.curranthaven.internal.catalog;

/**
 * What the engines of a service can do.
 *
 * @param slots requests that an engine batches
 * @param memoryTokens tokens that an engine's memory holds
 * @param tokensPerEvent tokens in one event of a stream
 * @param supportsMigration whether a running request can be moved to another engine
 * @param supportsBackups whether an engine can keep another one supplied with a copy of a running
 *     request
 */
public record EngineCapabilities(
    int slots,
    int memoryTokens,
    int tokensPerEvent,
    boolean supportsMigration,
    boolean supportsBackups) {}
