/** Public types of curranthaven: result codes, targets and the records that operators edit. */
@NullMarked
package org.curranthaven.api;

import org.jspecify.annotations.NullMarked;
