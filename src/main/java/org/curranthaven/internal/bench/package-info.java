/**
 * Benchmarks that measure how costs grow with size, and ratios to baselines measured in the same
 * run.
 */
@NullMarked
package org.curranthaven.internal.bench;

import org.jspecify.annotations.NullMarked;
