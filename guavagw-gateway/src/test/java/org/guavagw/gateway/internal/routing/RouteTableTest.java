package org.guavagw.gateway.internal.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.guavagw.gateway.internal.Samples;
import org.guavagw.gateway.model.Route;
import org.guavagw.gateway.model.RouteKind;
import org.junit.jupiter.api.Test;

class RouteTableTest {
  private final Route wide = route("a.test", "/v1/");
  private final Route narrow = route("a.test", "/v1/special/");
  private final RouteTable table = new RouteTable(List.of(wide, narrow));

  @Test
  void shouldPreferTheLongestPrefix() {
    assertThat(table.find("a.test", "/v1/special/x")).contains(narrow);
    assertThat(table.find("a.test", "/v1/other")).contains(wide);
  }

  @Test
  void shouldMatchPrefixesByWholeSegments() {
    assertThat(table.find("a.test", "/v1/specialties")).contains(wide);
    assertThat(table.find("a.test", "/v1")).isEmpty();
  }

  @Test
  void shouldIgnoreQueryPortAndCaseOfHost() {
    assertThat(table.find("A.test:8080", "/v1/x?next=/v1/special/")).contains(wide);
  }

  @Test
  void shouldFindNoRouteForAnUnknownHost() {
    assertThat(table.find("b.test", "/v1/x")).isEmpty();
  }

  private static Route route(String host, String prefix) {
    return Samples.route(host, prefix, RouteKind.IDEMPOTENT, List.of(), 2);
  }
}
