/** Metrics, state dump, decision log for {@code explain}, traces and JSON log lines. */
@NullMarked
package org.curranthaven.internal.observe;

import org.jspecify.annotations.NullMarked;
