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

/**
 * Applies edits to a configuration and validates the result as a whole. The texts of faults and
 * warnings are part of the replicated state, so every replica must produce the same ones.
 */
final class ConfigurationEditor {
  /** Shortest token gap target that known engines can meet, in milliseconds. */
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
    SortedMap<String, ?> items =
        switch (kind) {
          case CLASS -> classes;
          case WORKSPACE -> workspaces;
          case MODEL -> models;
          case SERVICE -> services;
        };
    if (items.remove(name) == null) {
      faults.add("there is no " + kind.name().toLowerCase(java.util.Locale.ROOT) + " " + name);
    }
  }

  /** Returns all faults of the edited configuration, empty if it is valid. */
  List<String> faults() {
    List<String> result = new ArrayList<>(faults);
    workspaces
        .values()
        .forEach(
            workspace ->
                requireClass(result, "workspace " + workspace.name(), workspace.defaultClass()));
    services
        .values()
        .forEach(
            service -> requireClass(result, "service " + service.name(), service.defaultClass()));
    TreeMap<String, String> workspaceByKeyHash = new TreeMap<>();
    for (Workspace workspace : workspaces.values()) {
      String otherWorkspace =
          workspaceByKeyHash.putIfAbsent(workspace.keySha256(), workspace.name());
      if (otherWorkspace != null) {
        result.add(
            "workspaces " + otherWorkspace + " and " + workspace.name() + " have the same key");
      }
    }
    return result;
  }

  private void requireClass(List<String> result, String referrer, String className) {
    if (!classes.containsKey(className)) {
      result.add(referrer + " names class " + className + ", which does not exist");
    }
  }

  /** Returns a warning for each target that probably cannot be met. */
  List<String> warnings() {
    return classes.values().stream()
        .filter(serviceClass -> serviceClass.targets().gapMillis() < MIN_GAP_MILLIS)
        .map(
            serviceClass ->
                "class %s asks for a gap of %d ms; no engine is known to stay below %d ms"
                    .formatted(
                        serviceClass.name(), serviceClass.targets().gapMillis(), MIN_GAP_MILLIS))
        .toList();
  }

  Configuration build(long revision) {
    return new Configuration(revision, classes, workspaces, models, services);
  }
}
