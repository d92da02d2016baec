package org.guavagw.cli.check;

/** A fault with a name and an action. Immutable. */
record NamedFault(String name, Action action) implements Fault {

  /** Action that injects the fault. */
  interface Action {
    void run(RecordedDeployment deployment) throws InterruptedException;
  }

  @Override
  public void inject(RecordedDeployment deployment) throws InterruptedException {
    action.run(deployment);
  }
}
