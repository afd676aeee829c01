package org.curranthaven;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import org.curranthaven.internal.supervision.Clock;

@AnalyzeClasses(packages = "org.curranthaven", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
  private static final String DECISION_NAMES =
      ".*(Core|State|View|Relay|Budget|Policy|Chooser|Queue|Ejector|Forecast|Model|Intensity|Log)";

  @ArchTest
  static final ArchRule the_public_types_do_not_know_the_internals =
      noClasses()
          .that()
          .resideInAPackage("org.curranthaven.api..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("org.curranthaven.internal..");

  @ArchTest
  static final ArchRule decisions_own_no_socket_thread_file_clock_or_log =
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
  static final ArchRule nothing_depends_on_the_platform =
      noClasses()
          .that()
          .resideOutsideOfPackage("org.curranthaven.platform..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("org.curranthaven.platform..");

  @ArchTest
  static final ArchRule placing_calls_is_pure =
      noClasses()
          .that()
          .resideInAnyPackage(
              "org.curranthaven.internal.dispatch..", "org.curranthaven.internal.catalog..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "java.net..", "java.nio..", "java.util.concurrent..", "io.netty..", "org.tinylog..");

  @ArchTest
  static final ArchRule routing_is_pure =
      noClasses()
          .that()
          .resideInAPackage("org.curranthaven.internal.routing..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "java.net..", "java.nio..", "java.util.concurrent..", "io.netty..", "org.tinylog..");
}
