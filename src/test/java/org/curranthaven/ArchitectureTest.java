package org.curranthaven;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import org.curranthaven.internal.supervision.Clock;

/**
 * Checks the dependency rules of the packages. Code that makes decisions does no input or output,
 * so that its result depends only on the events that it is given.
 */
@AnalyzeClasses(packages = "org.curranthaven", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
  /** Name endings of classes that make decisions; no other class of these packages may use one. */
  private static final String DECISION_NAMES =
      ".*(Core|State|View|Relay|Budget|Policy|Chooser|Queue|Ejector|Forecast|Model|Intensity|Log)";

  @ArchTest
  static final ArchRule public_types_do_not_depend_on_internal_packages =
      noClasses()
          .that()
          .resideInAPackage("org.curranthaven.api..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("org.curranthaven.internal..");

  @ArchTest
  static final ArchRule decision_classes_use_no_sockets_threads_files_clocks_or_logs =
      noClasses()
          .that()
          .haveNameMatching(
              "org\\.curranthaven\\.internal\\.(consensus|routing|ledger|membership"
                  + "|configuration|placement|gateway)\\."
                  + DECISION_NAMES)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "java.net..", "java.nio..", "java.util.concurrent..", "io.netty..", "org.tinylog..")
          .orShould()
          .dependOnClassesThat()
          .areAssignableTo(Clock.class)
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .callMethod(System.class, "nanoTime");

  @ArchTest
  static final ArchRule no_other_package_depends_on_the_platform_package =
      noClasses()
          .that()
          .resideOutsideOfPackage("org.curranthaven.platform..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("org.curranthaven.platform..");

  @ArchTest
  static final ArchRule dispatch_and_catalog_use_no_sockets_threads_files_or_logs =
      noClasses()
          .that()
          .resideInAnyPackage(
              "org.curranthaven.internal.dispatch..", "org.curranthaven.internal.catalog..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "java.net..", "java.nio..", "java.util.concurrent..", "io.netty..", "org.tinylog..");

  @ArchTest
  static final ArchRule routing_uses_no_sockets_threads_files_or_logs =
      noClasses()
          .that()
          .resideInAPackage("org.curranthaven.internal.routing..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "java.net..", "java.nio..", "java.util.concurrent..", "io.netty..", "org.tinylog..");

  @ArchTest
  static final ArchRule decisions_and_seeded_inputs_are_equal_on_every_processor =
      noClasses()
          .that()
          .resideInAnyPackage(
              "org.curranthaven.internal.routing..",
              "org.curranthaven.internal.dispatch..",
              "org.curranthaven.internal.emulator..",
              "org.curranthaven.internal.experiment..",
              "org.curranthaven.internal.standin..")
          .should()
          .callMethod(Math.class, "exp", double.class)
          .orShould()
          .callMethod(Math.class, "log", double.class)
          .orShould()
          .callMethod(Math.class, "pow", double.class, double.class)
          .because(
              "their last bit may differ between processors; StrictMath is defined bit for bit");
}
