/** Control host: request scheduling, backend server registration and the catalog. */
@org.jspecify.annotations.NullMarked
package org.curranthaven.internal.scheduler;
