/**
 * Selection of a backend server for each request, as a deterministic core without threads, clocks
 * or I/O.
 */
@NullMarked
package org.curranthaven.internal.routing;

import org.jspecify.annotations.NullMarked;
