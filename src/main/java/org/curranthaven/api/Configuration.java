package org.curranthaven.api;

import java.util.SortedMap;
import java.util.TreeMap;

/**
 * One revision of the configuration that operators edit.
 *
 * @param revision revision number; 0 before the first change
 * @param classes service classes by name
 * @param workspaces workspaces by name
 * @param models models by name
 * @param services plain services by name
 */
public record Configuration(
    long revision,
    SortedMap<String, ServiceClass> classes,
    SortedMap<String, Workspace> workspaces,
    SortedMap<String, Model> models,
    SortedMap<String, PlainService> services) {

  public Configuration {
    classes = copy(classes);
    workspaces = copy(workspaces);
    models = copy(models);
    services = copy(services);
  }

  /** Returns the empty configuration that applies before the first change. */
  public static Configuration empty() {
    return new Configuration(0, new TreeMap<>(), new TreeMap<>(), new TreeMap<>(), new TreeMap<>());
  }

  private static <V> SortedMap<String, V> copy(SortedMap<String, V> map) {
    return java.util.Collections.unmodifiableSortedMap(
        map == null ? new TreeMap<>() : new TreeMap<>(map));
  }
}
