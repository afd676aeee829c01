package org.curranthaven.internal.cli;

import java.nio.file.Path;
import java.util.function.ToIntFunction;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.emulator.Deployment;

/** Arguments of the experiments that emulate a deployment. */
final class DeploymentArguments {
  private DeploymentArguments() {}

  static void addTo(Subparser parser) {
    parser
        .addArgument("--deployment")
        .metavar("FILE")
        .required(true)
        .help("deployment to emulate, such as deploy/deployments/drive.jsonc");
    parser
        .addArgument("--seeds")
        .type(Integer.class)
        .setDefault(5)
        .help("number of seeds, starting at 1");
    parser
        .addArgument("--slowdown")
        .type(Double.class)
        .setDefault(1.0)
        .help("factor on the duration of every step of the engines");
  }

  /**
   * Runs an experiment with the deployment that the arguments name; returns its exit code, or that
   * of the failure to read the file.
   */
  static int runWithDeployment(Namespace arguments, ToIntFunction<Deployment> experiment) {
    Outcome<Deployment> outcome = Deployment.read(Path.of(arguments.getString("deployment")));
    return switch (outcome) {
      case Outcome.Failed<Deployment> failed -> {
        System.err.println(failed.failure().message());
        yield failed.failure().code().exitCode();
      }
      case Outcome.Success<Deployment> success ->
          run(success.value().withEnginesSlowedBy(arguments.getDouble("slowdown")), experiment);
    };
  }

  private static int run(Deployment deployment, ToIntFunction<Deployment> experiment) {
    try {
      return experiment.applyAsInt(deployment);
    } catch (IllegalArgumentException e) {
      // An unknown day, mechanism or policy; the message lists the known ones.
      System.err.println(e.getMessage());
      return ResultCode.SETTINGS_INVALID.exitCode();
    }
  }
}
