/**
 * Accepts requests of callers, has each placed on a backend server, and relays its response.
 * Everything in this package is confined to one event loop.
 */
@org.jspecify.annotations.NullMarked
package org.curranthaven.internal.relay;
