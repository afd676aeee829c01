package org.curranthaven.internal.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.curranthaven.api.Configuration;
import org.curranthaven.api.Failure;
import org.curranthaven.api.Model;
import org.curranthaven.api.PlainService;
import org.curranthaven.api.ResultCode;
import org.curranthaven.api.ServiceClass;
import org.curranthaven.api.Workspace;
import org.curranthaven.internal.configuration.Edit;
import org.curranthaven.internal.settings.Json;

/**
 * {@code apply} and {@code diff}: makes the configuration match a file, or shows the difference.
 */
final class ApplyCommand implements Command {
  /**
   * The content of a configuration file. A list that is left out counts as empty: no item of its
   * kind is changed, but pruning removes all of them.
   */
  record DesiredConfiguration(
      List<ServiceClass> classes,
      List<Workspace> workspaces,
      List<Model> models,
      List<PlainService> services) {
    DesiredConfiguration {
      classes = classes == null ? List.of() : List.copyOf(classes);
      workspaces = workspaces == null ? List.of() : List.copyOf(workspaces);
      models = models == null ? List.of() : List.copyOf(models);
      services = services == null ? List.of() : List.copyOf(services);
    }
  }

  @Override
  public void register(Subparsers parsers) {
    addCommand(parsers, "apply", "change the configuration to match a file");
    addCommand(parsers, "diff", "show the changes that apply would make");
  }

  private void addCommand(Subparsers parsers, String name, String help) {
    Subparser parser = parsers.addParser(name).help(help);
    parser
        .addArgument("file")
        .help("JSON file, may hold comments: classes, workspaces, models, services");
    parser
        .addArgument("--prune")
        .action(Arguments.storeTrue())
        .help("also remove items that the file does not name");
    AdminOptions.add(parser);
    parser.setDefault(Main.COMMAND, this).setDefault("action", name);
  }

  @Override
  public int run(Namespace arguments) throws IOException, InterruptedException {
    DesiredConfiguration desired;
    try {
      desired =
          Json.MAPPER.readValue(
              Files.readString(Path.of(arguments.getString("file"))), DesiredConfiguration.class);
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
      return Main.reportFailure(
          Failure.of(
              ResultCode.CONFIGURATION_INVALID,
              arguments.getString("file") + ":" + line + ": " + e.getOriginalMessage()));
    }
    AdminClient client = AdminOptions.client(arguments);
    Configuration current = client.configuration();
    List<Edit> edits = edits(desired, current, arguments.getBoolean("prune"));
    if (arguments.getString("action").equals("diff") || edits.isEmpty()) {
      edits.forEach(edit -> System.out.println(Json.text(edit)));
      System.out.println(edits.size() + " changes to revision " + current.revision());
      return 0;
    }
    return ChangeReporter.report(
        client.submitChange(
            java.util.UUID.randomUUID().toString(),
            current.revision(),
            AdminOptions.operatorName(),
            edits),
        arguments.getBoolean("json"));
  }

  /**
   * Returns the edits that change the current configuration to the desired one.
   *
   * @param prune whether to remove items that the desired configuration does not name
   */
  static List<Edit> edits(DesiredConfiguration desired, Configuration current, boolean prune) {
    List<Edit> edits = new ArrayList<>();
    for (ServiceClass value : desired.classes()) {
      if (!value.equals(current.classes().get(value.name()))) {
        edits.add(new Edit.PutClass(value));
      }
    }
    for (Model value : desired.models()) {
      if (!value.equals(current.models().get(value.name()))) {
        edits.add(new Edit.PutModel(value));
      }
    }
    for (PlainService value : desired.services()) {
      if (!value.equals(current.services().get(value.name()))) {
        edits.add(new Edit.PutService(value));
      }
    }
    for (Workspace value : desired.workspaces()) {
      if (!value.equals(current.workspaces().get(value.name()))) {
        edits.add(new Edit.PutWorkspace(value));
      }
    }
    if (prune) {
      addRemovals(edits, Edit.Kind.WORKSPACE, current.workspaces(), names(desired.workspaces()));
      addRemovals(edits, Edit.Kind.SERVICE, current.services(), names(desired.services()));
      addRemovals(edits, Edit.Kind.MODEL, current.models(), names(desired.models()));
      addRemovals(edits, Edit.Kind.CLASS, current.classes(), names(desired.classes()));
    }
    return edits;
  }

  private static List<String> names(List<?> items) {
    return items.stream()
        .map(
            item ->
                switch (item) {
                  case ServiceClass value -> value.name();
                  case Workspace value -> value.name();
                  case Model value -> value.name();
                  case PlainService value -> value.name();
                  default -> "";
                })
        .toList();
  }

  private static void addRemovals(
      List<Edit> edits, Edit.Kind kind, Map<String, ?> current, List<String> namesToKeep) {
    for (String name : current.keySet()) {
      if (!namesToKeep.contains(name)) {
        edits.add(new Edit.Remove(kind, name));
      }
    }
  }
}
