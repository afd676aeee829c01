/** Public types of curranthaven: result codes, latency targets and configuration records. */
@NullMarked
package org.curranthaven.api;

import org.jspecify.annotations.NullMarked;
