/** Metrics, state dump, explanations and traces. */
@NullMarked
package org.curranthaven.internal.observe;

import org.jspecify.annotations.NullMarked;
