package org.curranthaven.api;

import java.util.Objects;

/**
 * A service class: latency targets, and whether its requests may be repeated.
 *
 * @param name unique name
 * @param targets latency targets of the class
 * @param repeatable whether a request of the class may run more than once
 */
public record ServiceClass(String name, Targets targets, boolean repeatable) {
  public ServiceClass {
    Names.requireName("class", name);
    Objects.requireNonNull(targets, "targets");
  }
}
