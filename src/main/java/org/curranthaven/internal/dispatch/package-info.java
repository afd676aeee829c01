/**
 * Decides on which backend server and when each routed request runs, and which requests are
 * rejected. One scheduler decides for all gateways. A gateway without a responsive scheduler falls
 * back to deciding locally, with the same code on its share of the backend servers' capacity.
 */
@org.jspecify.annotations.NullMarked
package org.curranthaven.internal.dispatch;
