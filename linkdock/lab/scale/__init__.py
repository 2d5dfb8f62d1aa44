"""What a fleet of the size to design for would cost, worked out from slopes measured on the program's own code.

`linkdock lab scale RUN --seed N --sizes A,B,C,D` measures one run at each size, in a process of its own for each;
`linkdock lab scale table` prints the tables of docs/CAPACITY.md from the results, `linkdock lab scale plot` the plot.
"""
