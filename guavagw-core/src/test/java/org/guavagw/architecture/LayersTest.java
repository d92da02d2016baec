package org.guavagw.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import org.guavagw.internal.pipeline.Filter;

@AnalyzeClasses(packages = "org.guavagw", importOptions = ImportOption.DoNotIncludeTests.class)
class LayersTest {
  @ArchTest
  static void shouldKeepDecisionLogicFreeOfNetworkAccess(JavaClasses all) {
    noClasses()
        .that()
        .resideInAnyPackage(
            "..internal.cascade..",
            "..internal.quality..",
            "..internal.placement..",
            "..internal.limits..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "okhttp3..", "io.jooby..", "io.netty..", "java.net..", "..internal.http..")
        .check(all);
  }

  @ArchTest
  static void shouldUseTheHttpServerLibraryOnlyInHttpAndEntry(JavaClasses all) {
    noClasses()
        .that()
        .resideInAnyPackage("org.guavagw.internal..")
        .and()
        .resideOutsideOfPackages("..internal.http..", "..internal.entry..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("io.jooby..")
        .check(all);
  }

  @ArchTest
  static void shouldKeepFiltersInPipelineAndDispatch(JavaClasses all) {
    classes()
        .that()
        .implement(Filter.class)
        .should()
        .resideInAnyPackage("..internal.pipeline..", "..internal.dispatch..")
        .check(all);
  }

  @ArchTest
  static void shouldKeepPeerNetworkFreeOfRequestHandling(JavaClasses all) {
    noClasses()
        .that()
        .resideInAnyPackage("..internal.peer..", "..internal.membership..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("..internal.pipeline..", "..internal.dispatch..")
        .check(all);
  }
}
