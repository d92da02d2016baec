/** Decision records: how they are collected, stored and looked up. */
package org.guavagw.internal.explain;
