/** Benchmarks that measure slopes and ratios against baselines in the same run. */
@NullMarked
package org.curranthaven.internal.bench;

import org.jspecify.annotations.NullMarked;
