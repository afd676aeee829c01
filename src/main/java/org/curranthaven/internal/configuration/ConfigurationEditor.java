package org.curranthaven.internal.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.curranthaven.api.Configuration;
import org.curranthaven.api.Model;
import org.curranthaven.api.PlainService;
import org.curranthaven.api.ServiceClass;
import org.curranthaven.api.Workspace;

/** Applies edits to a configuration and checks the result as a whole. */
final class ConfigurationEditor {
  /** Gap targets below this cannot be met by the engines known today, in milliseconds. */
  private static final long MIN_GAP_MILLIS = 5;

  private final SortedMap<String, ServiceClass> classes;
  private final SortedMap<String, Workspace> workspaces;
  private final SortedMap<String, Model> models;
  private final SortedMap<String, PlainService> services;
  private final List<String> faults = new ArrayList<>();

  ConfigurationEditor(Configuration base) {
    classes = new TreeMap<>(base.classes());
    workspaces = new TreeMap<>(base.workspaces());
    models = new TreeMap<>(base.models());
    services = new TreeMap<>(base.services());
  }

  void apply(Edit edit) {
    switch (edit) {
      case Edit.PutClass put -> classes.put(put.value().name(), put.value());
      case Edit.PutWorkspace put -> workspaces.put(put.value().name(), put.value());
      case Edit.PutModel put -> models.put(put.value().name(), put.value());
      case Edit.PutService put -> services.put(put.value().name(), put.value());
      case Edit.Remove removal -> remove(removal.kind(), removal.name());
    }
  }

  private void remove(Edit.Kind kind, String name) {
    SortedMap<String, ?> map =
        switch (kind) {
          case CLASS -> classes;
          case WORKSPACE -> workspaces;
          case MODEL -> models;
          case SERVICE -> services;
        };
    if (map.remove(name) == null) {
      faults.add("there is no " + kind.name().toLowerCase(java.util.Locale.ROOT) + " " + name);
    }
  }

  /** Returns everything that is wrong with the edited configuration. */
  List<String> faults() {
    List<String> result = new ArrayList<>(faults);
    workspaces
        .values()
        .forEach(w -> requireClass(result, "workspace " + w.name(), w.defaultClass()));
    services.values().forEach(s -> requireClass(result, "service " + s.name(), s.defaultClass()));
    TreeMap<String, String> keyOwners = new TreeMap<>();
    for (Workspace workspace : workspaces.values()) {
      String other = keyOwners.putIfAbsent(workspace.keySha256(), workspace.name());
      if (other != null) {
        result.add("workspaces " + other + " and " + workspace.name() + " have the same key");
      }
    }
    return result;
  }

  private void requireClass(List<String> result, String user, String name) {
    if (!classes.containsKey(name)) {
      result.add(user + " names class " + name + ", which does not exist");
    }
  }

  /** Returns targets that look unreachable. */
  List<String> warnings() {
    return classes.values().stream()
        .filter(c -> c.targets().gapMillis() < MIN_GAP_MILLIS)
        .map(
            c ->
                "class %s asks for a gap of %d ms; no engine is known to stay below %d ms"
                    .formatted(c.name(), c.targets().gapMillis(), MIN_GAP_MILLIS))
        .toList();
  }

  Configuration build(long revision) {
    return new Configuration(revision, classes, workspaces, models, services);
  }
}
