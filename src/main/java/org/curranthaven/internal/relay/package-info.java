/**
 * Takes routed calls from callers, has each placed, and relays its answer. Everything here runs on
 * one event loop.
 */
@org.jspecify.annotations.NullMarked
package org.curranthaven.internal.relay;
