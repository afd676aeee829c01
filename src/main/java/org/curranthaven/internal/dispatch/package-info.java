/**
 * Decides which backend server runs each routed call, when, and which calls are turned away. One
 * scheduler decides for all gateways; a gateway that no scheduler answers decides alone with the
 * same code on its share of the backend servers.
 */
@org.jspecify.annotations.NullMarked
package org.curranthaven.internal.dispatch;
