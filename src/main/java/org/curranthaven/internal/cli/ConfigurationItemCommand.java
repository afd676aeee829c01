package org.curranthaven.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.UUID;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.curranthaven.api.Configuration;
import org.curranthaven.api.Failure;
import org.curranthaven.api.Model;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.PlainService;
import org.curranthaven.api.ResultCode;
import org.curranthaven.api.ServiceClass;
import org.curranthaven.api.Targets;
import org.curranthaven.api.Workspace;
import org.curranthaven.internal.configuration.Edit;
import org.curranthaven.internal.gateway.Hashes;
import org.curranthaven.internal.settings.Json;

/**
 * {@code class}, {@code workspace}, {@code model} and {@code service}: sets, removes and lists
 * items of one kind in the configuration.
 */
final class ConfigurationItemCommand implements Command {
  private final Edit.Kind kind;

  ConfigurationItemCommand(Edit.Kind kind) {
    this.kind = kind;
  }

  /** Returns the name of the command: the kind in lower case. */
  private String kindName() {
    return kind.name().toLowerCase(Locale.ROOT);
  }

  @Override
  public void register(Subparsers parsers) {
    Subparser parser = parsers.addParser(kindName()).help("set, remove or list a " + kindName());
    Subparsers actions = parser.addSubparsers().metavar("ACTION");
    Subparser set =
        addAction(
            actions, "set", "add or change one; returns when the change is active on every host");
    set.addArgument("name").help("name");
    addFields(set);
    Subparser remove =
        addAction(actions, "remove", "remove one; returns when the change is active on every host");
    remove.addArgument("name").help("name");
    addAction(actions, "list", "list all of them");
  }

  private Subparser addAction(Subparsers actions, String name, String help) {
    Subparser parser = actions.addParser(name).help(help);
    AdminOptions.add(parser);
    if (!name.equals("list")) {
      parser
          .addArgument("--base-revision")
          .type(Long.class)
          .help("revision that the change is based on; the active one if omitted");
      parser
          .addArgument("--change-id")
          .help("id by which a repeated submission is recognised; random if omitted");
    }
    parser.setDefault(Main.COMMAND, this).setDefault("action", name);
    return parser;
  }

  private void addFields(Subparser set) {
    switch (kind) {
      case CLASS -> {
        addNumberArgument(set, "--first-reply-millis", "target for the time to the first token");
        addNumberArgument(set, "--gap-millis", "target for the time between two tokens");
        addNumberArgument(set, "--answer-millis", "target for the time to the complete response");
        set.addArgument("--not-repeatable")
            .action(Arguments.storeTrue())
            .help("requests of this class may run at most once");
      }
      case WORKSPACE -> {
        set.addArgument("--key").required(true).help("bearer key; only its hash is stored");
        set.addArgument("--default-class")
            .required(true)
            .help("class of requests that do not name one");
        set.addArgument("--requests-per-second")
            .type(Double.class)
            .setDefault(0.0)
            .help("request rate limit across all hosts; 0 for no limit");
      }
      case MODEL ->
          addNumberArgument(
              set, "--max-output-tokens", "largest output length that a request may ask for");
      case SERVICE ->
          set.addArgument("--default-class")
              .required(true)
              .help("class of requests that do not name one");
    }
  }

  private static void addNumberArgument(Subparser parser, String name, String help) {
    parser.addArgument(name).type(Long.class).required(true).help(help);
  }

  @Override
  public int run(Namespace arguments) throws IOException, InterruptedException {
    AdminClient client = AdminOptions.client(arguments);
    if (arguments.getString("action").equals("list")) {
      items(client.configuration()).values().forEach(item -> System.out.println(Json.text(item)));
      return 0;
    }
    try {
      return submit(arguments, client, edit(arguments));
    } catch (IllegalArgumentException e) {
      return Main.reportFailure(
          Failure.of(ResultCode.CONFIGURATION_INVALID, String.valueOf(e.getMessage())));
    }
  }

  private Map<String, ?> items(Configuration configuration) {
    return switch (kind) {
      case CLASS -> configuration.classes();
      case WORKSPACE -> configuration.workspaces();
      case MODEL -> configuration.models();
      case SERVICE -> configuration.services();
    };
  }

  private Edit edit(Namespace arguments) {
    String name = arguments.getString("name");
    if (arguments.getString("action").equals("remove")) {
      return new Edit.Remove(kind, name);
    }
    return switch (kind) {
      case CLASS ->
          new Edit.PutClass(
              new ServiceClass(
                  name,
                  new Targets(
                      arguments.getLong("first_reply_millis"),
                      arguments.getLong("gap_millis"),
                      arguments.getLong("answer_millis")),
                  !arguments.getBoolean("not_repeatable")));
      case WORKSPACE ->
          new Edit.PutWorkspace(
              new Workspace(
                  name,
                  Hashes.sha256Hex(arguments.getString("key")),
                  arguments.getString("default_class"),
                  arguments.getDouble("requests_per_second")));
      case MODEL ->
          new Edit.PutModel(
              new Model(name, Math.toIntExact(arguments.getLong("max_output_tokens"))));
      case SERVICE ->
          new Edit.PutService(new PlainService(name, arguments.getString("default_class")));
    };
  }

  private static int submit(Namespace arguments, AdminClient client, Edit edit)
      throws IOException, InterruptedException {
    Long baseRevision = arguments.getLong("base_revision");
    String changeId = arguments.getString("change_id");
    Outcome<JsonNode> outcome =
        client.submitChange(
            changeId == null ? UUID.randomUUID().toString() : changeId,
            baseRevision == null ? client.configuration().revision() : baseRevision,
            AdminOptions.operatorName(),
            List.of(edit));
    return ChangeReporter.report(outcome, arguments.getBoolean("json"));
  }
}
