/** Stand-ins for engines, plain services and a load balancer, and a load generator. */
@NullMarked
package org.curranthaven.internal.standin;

import org.jspecify.annotations.NullMarked;
