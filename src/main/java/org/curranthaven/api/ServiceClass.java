package org.curranthaven.api;

import java.util.Objects;

/**
 * A class of work: targets, and whether its calls may be repeated.
 *
 * @param name unique name
 * @param targets what the operator asks of the class
 * @param repeatable whether a call of the class may run more than once
 */
public record ServiceClass(String name, Targets targets, boolean repeatable) {
  public ServiceClass {
    Names.requireName("class", name);
    Objects.requireNonNull(targets, "targets");
  }
}
