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

/** {@code apply} and {@code diff}: brings the configuration to what a file says. */
final class ApplyCommand implements Command {
  /** What a file holds; a list that is left out is left alone. */
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
    register(parsers, "apply", "make the configuration what a file says");
    register(parsers, "diff", "show what apply would change");
  }

  private void register(Subparsers parsers, String name, String help) {
    Subparser parser = parsers.addParser(name).help(help);
    parser.addArgument("file").help("JSON with comments: classes, workspaces, models, services");
    parser
        .addArgument("--prune")
        .action(Arguments.storeTrue())
        .help("also remove what the file does not name");
    AdminOptions.add(parser);
    parser.setDefault(Main.COMMAND, this).setDefault("action", name);
  }

  @Override
  public int run(Namespace arguments) throws IOException, InterruptedException {
    DesiredConfiguration wanted;
    try {
      wanted =
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
    List<Edit> edits = edits(wanted, current, arguments.getBoolean("prune"));
    if (arguments.getString("action").equals("diff") || edits.isEmpty()) {
      edits.forEach(edit -> System.out.println(Json.text(edit)));
      System.out.println(edits.size() + " changes against revision " + current.revision());
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

  static List<Edit> edits(DesiredConfiguration wanted, Configuration current, boolean prune) {
    List<Edit> edits = new ArrayList<>();
    for (ServiceClass value : wanted.classes()) {
      if (!value.equals(current.classes().get(value.name()))) {
        edits.add(new Edit.PutClass(value));
      }
    }
    for (Model value : wanted.models()) {
      if (!value.equals(current.models().get(value.name()))) {
        edits.add(new Edit.PutModel(value));
      }
    }
    for (PlainService value : wanted.services()) {
      if (!value.equals(current.services().get(value.name()))) {
        edits.add(new Edit.PutService(value));
      }
    }
    for (Workspace value : wanted.workspaces()) {
      if (!value.equals(current.workspaces().get(value.name()))) {
        edits.add(new Edit.PutWorkspace(value));
      }
    }
    if (prune) {
      addRemovals(edits, Edit.Kind.WORKSPACE, current.workspaces(), names(wanted.workspaces()));
      addRemovals(edits, Edit.Kind.SERVICE, current.services(), names(wanted.services()));
      addRemovals(edits, Edit.Kind.MODEL, current.models(), names(wanted.models()));
      addRemovals(edits, Edit.Kind.CLASS, current.classes(), names(wanted.classes()));
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
      List<Edit> edits, Edit.Kind kind, Map<String, ?> current, List<String> wanted) {
    for (String name : current.keySet()) {
      if (!wanted.contains(name)) {
        edits.add(new Edit.Remove(kind, name));
      }
    }
  }
}
