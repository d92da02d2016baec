package org.guavagw.cli.check;

/** A fault made of a name and an action. Immutable. */
record NamedFault(String name, Action action) implements Fault {

  /** What a fault does. */
  interface Action {
    void run(CheckedDeployment deployment) throws InterruptedException;
  }

  @Override
  public void strike(CheckedDeployment deployment) throws InterruptedException {
    action.run(deployment);
  }
}
