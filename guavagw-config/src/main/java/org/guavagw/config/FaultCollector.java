package org.guavagw.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/** Collects the faults of one configuration and provides the common checks. Not thread-safe. */
final class FaultCollector {
  private static final int MAX_NAME_LENGTH = 200;

  private final List<ConfigFault> faults = new ArrayList<>();

  List<ConfigFault> all() {
    return List.copyOf(faults);
  }

  void add(String path, String problem, String remedy) {
    faults.add(new ConfigFault(path, problem, remedy));
  }

  void requireName(String path, String name) {
    if (name == null || name.isBlank()) {
      add(path, "the name is empty", "set a name");
      return;
    }
    boolean isValid =
        name.indexOf('/') < 0
            && name.indexOf('@') < 0
            && name.chars().noneMatch(c -> Character.isISOControl(c) || Character.isWhitespace(c));
    if (!isValid) {
      add(
          path,
          "the name contains '/', '@', white space or a control character",
          "use letters, digits, '-', '_' and '.'");
    }
    if (name.length() > MAX_NAME_LENGTH) {
      add(path, "the name is too long", "use at most " + MAX_NAME_LENGTH + " characters");
    }
  }

  /** Requires that the configuration defines a name. */
  void requireKnown(String path, String kind, String name, Set<String> known) {
    if (!known.contains(name)) {
      add(path, "there is no " + kind + " '" + name + "'", "define it or correct the name");
    }
  }

  void requirePositive(String path, long value) {
    if (value <= 0) {
      add(path, "is " + value, "use a number above 0");
    }
  }

  void requireNotNegative(String path, long value) {
    if (value < 0) {
      add(path, "is " + value, "use 0 or more");
    }
  }

  void requireFraction(String path, double value) {
    if (!(value >= 0 && value <= 1)) {
      add(path, "is " + value, "use a number from 0 to 1");
    }
  }

  /** Requires that no two elements of a list have the same key. */
  <T> void requireDistinct(String path, String field, List<T> list, Function<T, ?> key) {
    Set<Object> seen = new HashSet<>();
    for (int i = 0; i < list.size(); i++) {
      Object value = key.apply(list.get(i));
      if (!seen.add(value)) {
        add(
            path + "[" + i + "]" + field,
            "'" + value + "' occurs more than once",
            "remove the duplicate");
      }
    }
  }
}
